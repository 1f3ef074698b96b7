#ifndef LIBRARIES_BASE_INI_FAULT_H_
#define LIBRARIES_BASE_INI_FAULT_H_

#include <string>
#include <vector>

namespace agaterun {

// One fault of an INI text. `line` counts from 1; 0 stands for the whole text.
struct IniFault {
  std::string section;  // Empty before the first section.
  std::string key;      // Empty when the fault is of the section.
  int line = 0;
  std::string message;  // Names the remedy.
};

using IniFaults = std::vector<IniFault>;

}  // namespace agaterun

#endif  // LIBRARIES_BASE_INI_FAULT_H_
