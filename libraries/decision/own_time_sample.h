#ifndef LIBRARIES_DECISION_OWN_TIME_SAMPLE_H_
#define LIBRARIES_DECISION_OWN_TIME_SAMPLE_H_

namespace agaterun::decision {

// Mean of own times in seconds and the variance of that mean, computed with
// Welford's algorithm.
class OwnTimeSample {
 public:
  void Add(double seconds) {
    ++this->count;
    const double deviation = seconds - this->mean;
    this->mean += deviation / this->count;
    this->squared_deviations += deviation * (seconds - this->mean);
  }

  int Count() const { return this->count; }
  double Mean() const { return this->mean; }

  // Variance of the mean divided by the square of the mean.
  double RelativeVariance() const {
    if (this->count < 2 || this->mean <= 0) {
      return 1;
    }
    const double variance = this->squared_deviations / (this->count - 1);
    return variance / this->count / (this->mean * this->mean);
  }

 private:
  int count = 0;
  double mean = 0;
  double squared_deviations = 0;
};

}  // namespace agaterun::decision

#endif  // LIBRARIES_DECISION_OWN_TIME_SAMPLE_H_
