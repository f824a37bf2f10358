package org.corianderweir.coordination;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Remembers when questions were sent, so that what an answer says is dated from before the question
 * and never from its arrival. Sequence numbers start at a random one, so that an answer to a former
 * process of the same name fits none.
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

  OptionalLong sentAt(long echo) {
    Long time = times.get(echo);
    return time == null ? OptionalLong.empty() : OptionalLong.of(time);
  }
}
