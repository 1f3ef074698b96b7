#ifndef LIBRARIES_NODE_OBSERVER_GATE_H_
#define LIBRARIES_NODE_OBSERVER_GATE_H_

#include <atomic>
#include <thread>

namespace agaterun::node {

// Allows calls of an observer until it is closed. Pending handlers can outlive
// the links, while the observer may be destroyed right after them.
class ObserverGate {
 public:
  // Exists for the duration of one call. The call is allowed only when IsOpen()
  // returns true.
  class Entry {
   public:
    explicit Entry(ObserverGate& gate) : gate(gate) { ++this->gate.entries; }
    ~Entry() { --this->gate.entries; }
    Entry(const Entry&) = delete;
    Entry& operator=(const Entry&) = delete;

    bool IsOpen() const { return this->gate.open; }

   private:
    ObserverGate& gate;
  };

  // Blocks until no call is in progress; none starts afterwards. Must not be
  // called from within an observer call.
  void Shut() {
    this->open = false;
    while (this->entries > 0) {
      std::this_thread::yield();
    }
  }

 private:
  std::atomic<bool> open{true};
  std::atomic<int> entries{0};
};

}  // namespace agaterun::node

#endif  // LIBRARIES_NODE_OBSERVER_GATE_H_
