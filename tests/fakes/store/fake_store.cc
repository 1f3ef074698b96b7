#include "tests/fakes/store/fake_store.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "tests/fakes/free_port.h"

namespace agaterun::fakes {

namespace {

using Json = nlohmann::json;

std::string ToBase64(const std::string& bytes) {
  constexpr std::string_view kLetters =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t index = 0; index < bytes.size(); index += 3) {
    std::uint32_t group = 0;
    for (std::size_t place = 0; place < 3; ++place) {
      const auto byte = index + place < bytes.size()
                            ? static_cast<unsigned char>(bytes[index + place])
                            : 0U;
      group = group << 8 | byte;
    }
    for (std::size_t place = 0; place < 4; ++place) {
      const bool is_padding = index + place > bytes.size();
      text += is_padding ? '=' : kLetters[group >> (18 - 6 * place) & 63];
    }
  }
  return text;
}

HttpResponse JsonResponse(const Json& body) {
  HttpResponse response{.status = 200, .body = body.dump()};
  response.headers.push_back({"Content-Type", "application/json"});
  return response;
}

std::map<std::string, std::string> QueryOf(const std::string& target) {
  std::map<std::string, std::string> query;
  auto rest = target.substr(std::min(target.find('?'), target.size() - 1) + 1);
  while (!rest.empty()) {
    const auto end = std::min(rest.find('&'), rest.size());
    const auto pair = rest.substr(0, end);
    const auto separator = pair.find('=');
    query[pair.substr(0, separator)] =
        separator == std::string::npos ? "" : pair.substr(separator + 1);
    rest.erase(0, end + 1);
  }
  return query;
}

}  // namespace

FakeStore::FakeStore(asio::io_context& io)
    : address(FreeAddress(0x7f000001)),
      listener(io, {.listen = this->address}, this->call_ids, *this) {
  if (!this->listener.Listen()) {
    std::abort();
  }
}

void FakeStore::Put(const std::string& key, const std::string& value) {
  const Event event{.key = key, .value = value, .revision = ++this->revision};
  this->items[key] = event;
  this->history.push_back(event);
  this->RespondToWatches();
}

void FakeStore::Delete(const std::string& key) {
  this->items.erase(key);
  this->history.push_back(
      {.key = key, .revision = ++this->revision, .deleted = true});
  this->RespondToWatches();
}

void FakeStore::RestoreAt(std::uint64_t old_revision) {
  std::erase_if(this->history, [&](const Event& event) {
    return event.revision > old_revision;
  });
  this->items.clear();
  for (const auto& event : this->history) {
    if (event.deleted) {
      this->items.erase(event.key);
    } else {
      this->items[event.key] = event;
    }
  }
  this->revision = old_revision;
  ++this->era;
  this->pending_watches.clear();
}

void FakeStore::Respond(decision::CallId call, HttpResponse response) {
  response.headers.push_back({"Store-Era", std::to_string(this->era)});
  this->listener.Respond(call, response);
}

void FakeStore::DropHistory() {
  this->oldest_revision = ++this->revision;
  this->history.clear();
  this->RespondToWatches();
}

void FakeStore::OnRequest(decision::CallId call,
                          HttpRequest request,
                          NodeAddress /*caller*/) {
  if (this->unresponsive) {
    return;
  }
  if (this->failure_status != 0) {
    this->failed_paths.push_back(
        request.target.substr(0, request.target.find('?')));
    this->Respond(call, {.status = this->failure_status});
    return;
  }
  const auto query = QueryOf(request.target);
  const auto path = request.target.substr(0, request.target.find('?'));
  if (path == "/-/kv-key") {
    ++this->read_count;
    this->Respond(call, this->ItemResponse(query));
  } else if (path == "/-/kv-range") {
    ++(query.contains("AllowStale") ? this->stale_read_count
                                    : this->read_count);
    this->Respond(call, this->RangeResponse(query));
  } else if (path == "/-/kv-watch") {
    ++this->watch_count;
    this->pending_watches.push_back({.call = call,
                                     .prefix = query.at("Prefix"),
                                     .after = std::stoull(query.at("after"))});
    this->RespondToWatches();
  } else {
    this->Respond(call, {.status = 404});
  }
}

void FakeStore::OnCallerDisconnected(decision::CallId call) {
  std::erase_if(this->pending_watches,
                [&](const PendingWatch& entry) { return entry.call == call; });
}

HttpResponse FakeStore::ItemResponse(
    const std::map<std::string, std::string>& query) {
  const auto found = this->items.find(query.at("Key"));
  if (found == this->items.end()) {
    return {.status = 404};
  }
  const auto& item = found->second;
  return JsonResponse({{"Key", item.key},
                       {"Value", ToBase64(item.value)},
                       {"Revision", item.revision},
                       {"Created", item.revision},
                       {"Lease", 0},
                       {"CurrentRev", this->revision}});
}

HttpResponse FakeStore::RangeResponse(
    const std::map<std::string, std::string>& query) {
  Json list = Json::array();
  bool truncated = false;
  const auto after = query.contains("after") ? query.at("after") : "";
  for (const auto& [key, item] : this->items) {
    if (!key.starts_with(query.at("Prefix")) || key <= after) {
      continue;
    }
    if (list.size() >= this->page_size) {
      truncated = true;
      break;
    }
    list.push_back({{"Key", key},
                    {"Value", ToBase64(item.value)},
                    {"Revision", item.revision},
                    {"Created", item.revision},
                    {"Lease", 0}});
  }
  return JsonResponse({{"items", list},
                       {"Truncated", truncated},
                       {"CurrentRev", this->revision}});
}

std::optional<HttpResponse> FakeStore::WatchResponse(
    const PendingWatch& entry) {
  if (entry.after < this->oldest_revision || entry.after > this->revision) {
    return HttpResponse{.status = 410};
  }
  Json events = Json::array();
  for (const auto& event : this->history) {
    if (event.revision <= entry.after || !event.key.starts_with(entry.prefix)) {
      continue;
    }
    if (event.deleted) {
      events.push_back({{"Key", event.key},
                        {"Revision", event.revision},
                        {"Deleted", true}});
    } else {
      events.push_back({{"Key", event.key},
                        {"Value", ToBase64(event.value)},
                        {"Revision", event.revision},
                        {"Created", event.revision},
                        {"Lease", 0}});
    }
  }
  if (events.empty()) {
    return std::nullopt;
  }
  return JsonResponse({{"events", events}, {"CurrentRev", this->revision}});
}

void FakeStore::ExpireWatches() {
  for (const auto& entry : std::exchange(this->pending_watches, {})) {
    const bool is_gone = entry.after > this->revision;
    this->Respond(entry.call,
                  is_gone ? HttpResponse{.status = 410}
                          : JsonResponse({{"events", Json::array()},
                                          {"CurrentRev", this->revision}}));
  }
}

void FakeStore::RespondToWatches() {
  for (std::size_t index = 0; index < this->pending_watches.size();) {
    if (auto response = this->WatchResponse(this->pending_watches[index]);
        response) {
      const auto call = this->pending_watches[index].call;
      this->pending_watches.erase(this->pending_watches.begin() +
                                  static_cast<std::ptrdiff_t>(index));
      this->Respond(call, *response);
    } else {
      ++index;
    }
  }
}

}  // namespace agaterun::fakes
