package org.corianderweir.logic.admission;

/** A mean of observations whose weight falls exponentially with their age. Not thread-safe. */
final class DecayedMean {
  private final double timeConstantNanoseconds;
  private double weight;
  private double sum;
  private long updatedNanoseconds;

  /** Creates a mean without observations; after the time constant a weight has fallen to 1/e. */
  DecayedMean(double timeConstantNanoseconds) {
    this.timeConstantNanoseconds = timeConstantNanoseconds;
  }

  void add(double value, double valueWeight, long nowNanoseconds) {
    double decay = decay(nowNanoseconds);
    weight = weight * decay + valueWeight;
    sum = sum * decay + value * valueWeight;
    updatedNanoseconds = nowNanoseconds;
  }

  /** Returns the mean, or 0 without observations. */
  double mean() {
    return weight <= 0 ? 0 : sum / weight;
  }

  /** Returns the decayed weight of the observations, which is also their decayed number. */
  double weight(long nowNanoseconds) {
    return weight * decay(nowNanoseconds);
  }

  private double decay(long nowNanoseconds) {
    long elapsed = Math.max(0, nowNanoseconds - updatedNanoseconds);
    return weight <= 0 || elapsed == 0 ? 1 : Math.exp(-elapsed / timeConstantNanoseconds);
  }
}
