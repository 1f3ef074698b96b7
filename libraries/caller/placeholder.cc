#include "libraries/caller/caller_server.h"
