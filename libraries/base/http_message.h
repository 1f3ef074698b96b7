#ifndef LIBRARIES_BASE_HTTP_MESSAGE_H_
#define LIBRARIES_BASE_HTTP_MESSAGE_H_

#include <string>
#include <string_view>
#include <vector>

namespace agaterun {

struct HttpHeader {
  std::string name;
  std::string value;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->name, this->value);
  }
};

using HttpHeaders = std::vector<HttpHeader>;

// Value of the first header called `name`, compared without case, or nullptr.
const std::string* FindHeader(const HttpHeaders& headers,
                              std::string_view name);

// Removes every header called `name`, compared without case.
void RemoveHeader(HttpHeaders& headers, std::string_view name);

// True when both names are equal without regard to ASCII case.
bool EqualsIgnoringCase(std::string_view left, std::string_view right);

// A whole request: hop-by-hop headers and framing are gone from `headers`.
struct HttpRequest {
  std::string method;
  std::string target;  // Origin form: path and query.
  HttpHeaders headers;
  std::string body;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->method, this->target, this->headers, this->body);
  }
};

// A whole response: hop-by-hop headers and framing are gone from `headers`.
struct HttpResponse {
  int status = 0;
  HttpHeaders headers;
  std::string body;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->status, this->headers, this->body);
  }
};

}  // namespace agaterun

#endif  // LIBRARIES_BASE_HTTP_MESSAGE_H_
