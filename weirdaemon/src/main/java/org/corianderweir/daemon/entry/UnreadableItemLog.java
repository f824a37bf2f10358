package org.corianderweir.daemon.entry;

import java.util.List;
import org.corianderweir.daemon.control.EventLog;
import org.corianderweir.model.timeline.EventCode;

/** Logs items of the metadata store that could not be read, a bounded number for each answer. */
final class UnreadableItemLog {
  private static final int LINE_LIMIT = 10;

  private final EventLog events;

  UnreadableItemLog(EventLog events) {
    this.events = events;
  }

  /** Records why items of one answer of the store could not be read. */
  void record(List<String> reasons) {
    reasons.stream()
        .limit(LINE_LIMIT)
        .forEach(reason -> events.record(EventCode.CONFIGURATION_UNREADABLE, "store", reason));
    if (reasons.size() > LINE_LIMIT) {
      int omitted = reasons.size() - LINE_LIMIT;
      events.record(EventCode.CONFIGURATION_UNREADABLE, "store", "omitted=" + omitted);
    }
  }
}
