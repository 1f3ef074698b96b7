#include "libraries/node/node_links.h"
