#include "libraries/http/message_parser.h"
