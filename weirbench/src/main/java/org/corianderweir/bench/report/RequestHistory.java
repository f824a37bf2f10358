package org.corianderweir.bench.report;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.corianderweir.bench.load.CallRecord;

/**
 * The first and the last attempt of a request.
 *
 * @param first the first attempt
 * @param last the last attempt, which determines the result
 */
record RequestHistory(CallRecord first, CallRecord last) {
  private static final double NANOSECONDS_PER_MILLISECOND = 1e6;

  /** Groups attempts by request; returns the requests in order of their intended times. */
  static List<RequestHistory> join(List<CallRecord> calls) {
    Map<String, RequestHistory> joined = new HashMap<>();
    for (CallRecord call : calls) {
      joined.merge(call.identifier(), new RequestHistory(call, call), RequestHistory::merge);
    }
    List<RequestHistory> ordered = new ArrayList<>(joined.values());
    ordered.sort(Comparator.comparingLong(history -> history.first().intendedNanoseconds()));
    return ordered;
  }

  boolean answered() {
    return last.outcome() == CallRecord.Outcome.ANSWERED;
  }

  /** Returns the time from the intended arrival to the end of the last attempt. */
  long latencyNanoseconds() {
    return last.endNanoseconds() - first.intendedNanoseconds();
  }

  double latencyMilliseconds() {
    return latencyNanoseconds() / NANOSECONDS_PER_MILLISECOND;
  }

  /** Returns the reason why the request was not answered; empty if it was answered. */
  String failure() {
    return switch (last.outcome()) {
      case ANSWERED -> "";
      case REFUSED -> last.refusal();
      case LOST -> "lost";
      case UNREACHABLE -> "unreachable";
    };
  }

  private RequestHistory merge(RequestHistory other) {
    CallRecord earliest = first.attempt() <= other.first.attempt() ? first : other.first;
    CallRecord latest = last.attempt() >= other.last.attempt() ? last : other.last;
    return new RequestHistory(earliest, latest);
  }
}
