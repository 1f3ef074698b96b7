#include "libraries/backend_server/backend_client.h"
