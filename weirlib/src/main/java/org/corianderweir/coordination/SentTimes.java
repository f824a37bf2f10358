package org.corianderweir.coordination;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Records when requests were sent, so that the content of a response is dated from the time of its
 * request and never from its arrival. Sequence numbers start at a random number, so that a response
 * to a former process of the same name does not match any request.
 */
final class SentTimes {
  private static final int MAXIMUM_ENTRIES = 256;

  private final Map<Long, Long> times =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
          return size() > MAXIMUM_ENTRIES;
        }
      };
  private long sequence;

  SentTimes(long firstSequence) {
    sequence = firstSequence;
  }

  long recordSend(long nowNanoseconds) {
    sequence++;
    times.put(sequence, nowNanoseconds);
    return sequence;
  }

  OptionalLong sentAt(long echoedSequence) {
    Long time = times.get(echoedSequence);
    return time == null ? OptionalLong.empty() : OptionalLong.of(time);
  }
}
