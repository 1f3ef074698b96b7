#ifndef TESTS_FAKES_STORE_FAKE_STORE_H_
#define TESTS_FAKES_STORE_FAKE_STORE_H_

#include <asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libraries/proxy/http_listener.h"

namespace agaterun::fakes {

// A key-value store with the interface of the users' platform: reads of single
// items and of pages, and watches.
class FakeStore : private proxy::RequestSink {
 public:
  explicit FakeStore(asio::io_context& io);

  NodeAddress Address() const { return this->address; }

  void Put(const std::string& key, const std::string& value);
  void Delete(const std::string& key);
  // Restores the items as they were at a revision. Later revisions are given
  // out again, and the era rises by one.
  void RestoreAt(std::uint64_t old_revision);
  std::uint64_t Revision() const { return this->revision; }
  // Watches that start at an earlier revision then receive 410.
  void DropHistory();
  // All requests receive this status instead of a response; 0 turns it off.
  void FailWith(int status) { this->failure_status = status; }
  // Requests receive no response at all.
  void SetUnresponsive(bool is_unresponsive) {
    this->unresponsive = is_unresponsive;
  }
  // Responds without events to pending watches, as when their wait has passed.
  void ExpireWatches();
  // Pending watches never receive a response.
  void DropWatches() { this->pending_watches.clear(); }
  // Sets the maximum number of items per page.
  void SetPageSize(std::size_t size) { this->page_size = size; }

  // Paths of the requests that failed with the status set by FailWith.
  std::vector<std::string>& FailedPaths() { return this->failed_paths; }

  int ReadCount() const { return this->read_count; }
  int WatchCount() const { return this->watch_count; }
  int StaleReadCount() const { return this->stale_read_count; }

 private:
  struct Event {
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
    bool deleted = false;
  };
  struct PendingWatch {
    decision::CallId call = 0;
    std::string prefix;
    std::uint64_t after = 0;
  };

  void OnRequest(decision::CallId call,
                 HttpRequest request,
                 NodeAddress caller) override;
  void OnCallerDisconnected(decision::CallId call) override;
  void Respond(decision::CallId call, HttpResponse response);
  HttpResponse ItemResponse(const std::map<std::string, std::string>& query);
  HttpResponse RangeResponse(const std::map<std::string, std::string>& query);
  std::optional<HttpResponse> WatchResponse(const PendingWatch& entry);
  void RespondToWatches();

  NodeAddress address;
  decision::CallId call_ids = 1;
  proxy::HttpListener listener;
  std::map<std::string, Event> items;
  std::vector<Event> history;
  std::uint64_t revision = 100;
  std::uint64_t oldest_revision = 0;
  std::uint64_t era = 1;
  std::vector<PendingWatch> pending_watches;
  int failure_status = 0;
  std::vector<std::string> failed_paths;
  bool unresponsive = false;
  std::size_t page_size = 500;
  int read_count = 0;
  int watch_count = 0;
  int stale_read_count = 0;
};

}  // namespace agaterun::fakes

#endif  // TESTS_FAKES_STORE_FAKE_STORE_H_
