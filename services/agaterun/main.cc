#include <cstdio>

int main() {
  std::puts("agaterun " AGATERUN_VERSION);
  return 0;
}
