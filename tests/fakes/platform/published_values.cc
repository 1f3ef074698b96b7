#include "tests/fakes/platform/published_values.h"

#include "libraries/base/clock.h"

namespace agaterun::fakes {

namespace {

constexpr const char* kNoHosts = R"({"hosts": []})";

}  // namespace

void PublishedValues::PublishTicket(std::uint64_t number, std::string text) {
  {
    const std::lock_guard lock(this->mutex);
    this->tickets[number] = std::move(text);
  }
  this->changed.notify_all();
}

void PublishedValues::PublishHosts(std::string json) {
  const std::lock_guard lock(this->mutex);
  // The first list is how the world was before this process started.
  const auto lag = this->host_lists.empty() ? Duration::zero() : this->lag;
  this->host_lists.push_back({MonotonicClock().Now() + lag, std::move(json)});
}

void PublishedValues::SetStale(bool stale) {
  {
    const std::lock_guard lock(this->mutex);
    if (stale && !this->stale) {
      this->stale_tickets = this->tickets;
      this->stale_hosts = this->VisibleHosts();
    }
    this->stale = stale;
  }
  this->changed.notify_all();
}

PublishedValues::Tickets PublishedValues::TicketsAfter(std::uint64_t after,
                                                       std::size_t limit,
                                                       Duration wait) {
  std::unique_lock lock(this->mutex);
  this->changed.wait_for(lock, wait, [&] {
    return this->stopped ||
           this->Visible().upper_bound(after) != this->Visible().end();
  });
  Tickets page;
  const auto& visible = this->Visible();
  for (auto ticket = visible.upper_bound(after);
       ticket != visible.end() && page.size() < limit; ++ticket) {
    page.emplace_back(*ticket);
  }
  return page;
}

std::uint64_t PublishedValues::LastNumber() {
  const std::lock_guard lock(this->mutex);
  return this->Visible().empty() ? 0 : this->Visible().rbegin()->first;
}

std::string PublishedValues::Hosts() {
  const std::lock_guard lock(this->mutex);
  return this->stale ? this->stale_hosts : this->VisibleHosts();
}

std::string PublishedValues::VisibleHosts() {
  const auto now = MonotonicClock().Now();
  while (this->host_lists.size() > 1 && this->host_lists[1].visible_at <= now) {
    this->host_lists.pop_front();
  }
  return this->host_lists.empty() ? kNoHosts : this->host_lists.front().json;
}

void PublishedValues::Stop() {
  {
    const std::lock_guard lock(this->mutex);
    this->stopped = true;
  }
  this->changed.notify_all();
}

}  // namespace agaterun::fakes
