#include "libraries/operator/admin_server.h"
