#include "libraries/platform/platform_reader.h"
