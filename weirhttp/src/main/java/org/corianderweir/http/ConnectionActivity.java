package org.corianderweir.http;

import java.time.Duration;

/** The requests and responses on the connection of a caller. Thread-safe. */
final class ConnectionActivity {
  private long readingSinceNanoseconds;
  private boolean reading = true;
  private boolean receiving;
  private int begunRequestCount;
  private int writtenResponseCount;
  private long latestEventNanoseconds;
  private long latestResponseNanoseconds;

  ConnectionActivity(long acceptedNanoseconds) {
    readingSinceNanoseconds = acceptedNanoseconds;
    latestEventNanoseconds = acceptedNanoseconds;
    latestResponseNanoseconds = acceptedNanoseconds;
  }

  /** Records that bytes of a request arrived. */
  synchronized void onBytesReceived(long nowNanoseconds) {
    latestEventNanoseconds = nowNanoseconds;
    if (!reading) {
      reading = true;
      readingSinceNanoseconds = nowNanoseconds;
    }
    if (!receiving) {
      receiving = true;
      begunRequestCount++;
    }
  }

  /** Records that a request was read completely. */
  synchronized void onRequestRead() {
    reading = false;
    receiving = false;
  }

  /** Records that a response was passed on to be sent. */
  synchronized void onResponseWritten(long nowNanoseconds) {
    latestEventNanoseconds = nowNanoseconds;
    latestResponseNanoseconds = nowNanoseconds;
    writtenResponseCount++;
  }

  /** Returns whether each request that arrived, even in part, was read and has its response. */
  synchronized boolean isIdle() {
    return begunRequestCount == writtenResponseCount && !receiving;
  }

  /** Returns whether the connection has been idle for longer than a limit. */
  synchronized boolean isIdleLongerThan(Duration limit, long nowNanoseconds) {
    return isIdle() && quietTime(nowNanoseconds).compareTo(limit) > 0;
  }

  /** Returns the monotonic time at which a response was passed on for the last time. */
  synchronized long latestResponseNanoseconds() {
    return latestResponseNanoseconds;
  }

  /** Returns how long ago bytes arrived, or a response was written, for the last time. */
  synchronized Duration quietTime(long nowNanoseconds) {
    return Duration.ofNanos(nowNanoseconds - latestEventNanoseconds);
  }

  /** Returns whether the caller has taken longer than a limit to send a request. */
  synchronized boolean isReadingLongerThan(Duration limit, long nowNanoseconds) {
    return reading && nowNanoseconds - readingSinceNanoseconds > limit.toNanos();
  }
}
