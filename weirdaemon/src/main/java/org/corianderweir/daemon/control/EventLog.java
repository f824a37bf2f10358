package org.corianderweir.daemon.control;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.corianderweir.kernel.Service;
import org.corianderweir.kernel.ServiceDirectory;
import org.corianderweir.kernel.ServiceName;
import org.corianderweir.kernel.TimeSource;
import org.corianderweir.logic.timeline.EventRing;
import org.corianderweir.logic.timeline.HybridLogicalClock;
import org.corianderweir.model.timeline.EventCode;
import org.corianderweir.model.timeline.TimelineEvent;
import org.jboss.logging.Logger;

/** Writes events to the log and keeps the latest ones for the timeline. Thread-safe. */
public final class EventLog implements Service {
  /** The name of this service. */
  public static final ServiceName<EventLog> NAME = new ServiceName<>("events", EventLog.class);

  private static final Logger LOGGER = Logger.getLogger("org.corianderweir.events");
  private static final int RING_CAPACITY_EVENTS = 4096;
  private static final int DETAIL_LIMIT_CHARACTERS = 1_000;

  /** The beginning of the log line of each event; all numbers have four digits. */
  private static final Map<EventCode, String> EVENT_PREFIXES = prefixes();

  private final HybridLogicalClock clock = new HybridLogicalClock();
  private final EventRing ring;
  private final TimeSource time;

  /** Creates an empty event log of the named process. */
  public EventLog(String process, TimeSource time) {
    this.ring = new EventRing(process, RING_CAPACITY_EVENTS, clock);
    this.time = time;
  }

  /** Records an event with the present time. */
  public void record(EventCode code, String subject, String detail) {
    String text = limitDetail(detail);
    TimelineEvent event = ring.record(code, subject, text, time.wallMilliseconds());
    Logger.Level level = level(code);
    if (LOGGER.isEnabled(level)) {
      // Plain concatenation: most events concern a request, and parsing a format costs more.
      LOGGER.log(
          level,
          EVENT_PREFIXES.get(code)
              + " subject="
              + subject
              + " process="
              + event.process()
              + ' '
              + text);
    }
  }

  private static Map<EventCode, String> prefixes() {
    Map<EventCode, String> prefixes = new EnumMap<>(EventCode.class);
    for (EventCode code : EventCode.values()) {
      prefixes.put(code, "event=WEIR-" + code.number() + " title=\"" + code.title() + '"');
    }
    return prefixes;
  }

  /** Shortens a detail and replaces line breaks, because it may repeat a text from outside. */
  private static String limitDetail(String detail) {
    String start =
        detail.length() <= DETAIL_LIMIT_CHARACTERS
            ? detail
            : detail.substring(0, DETAIL_LIMIT_CHARACTERS) + "...";
    return start.replace('\n', ' ').replace('\r', ' ');
  }

  /** Returns the hybrid logical clock of the process. */
  public HybridLogicalClock clock() {
    return clock;
  }

  /** Returns the latest events, oldest first. */
  public List<TimelineEvent> events() {
    return ring.snapshot();
  }

  @Override
  public List<ServiceName<?>> dependencies() {
    return List.of();
  }

  @Override
  public void start(ServiceDirectory directory) {}

  @Override
  public void stop() {}

  private static Logger.Level level(EventCode code) {
    return switch (code.severity()) {
      case DEBUG -> Logger.Level.DEBUG;
      case INFO -> Logger.Level.INFO;
      case WARNING -> Logger.Level.WARN;
      case ERROR -> Logger.Level.ERROR;
    };
  }
}
