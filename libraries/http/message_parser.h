#ifndef LIBRARIES_HTTP_MESSAGE_PARSER_H_
#define LIBRARIES_HTTP_MESSAGE_PARSER_H_

// All of this library: what reads and writes HTTP/1.1 messages.
#include "libraries/http/message_limits.h"
#include "libraries/http/message_writer.h"
#include "libraries/http/request_parser.h"
#include "libraries/http/response_parser.h"

#endif  // LIBRARIES_HTTP_MESSAGE_PARSER_H_
