package org.corianderweir.model.timeline;

/** The catalogue of events. Numbers are never reused; docs/EVENTS.md lists them for operators. */
public enum EventCode {
  /** The daemon has started its services. */
  INSTANCE_STARTED(1001, Severity.INFO, "Entry instance started"),
  /** A planned stop has begun. */
  INSTANCE_LEAVING(1002, Severity.INFO, "Entry instance is leaving"),
  /** The daemon has ended its requests and stops. */
  INSTANCE_STOPPED(1003, Severity.INFO, "Entry instance stopped"),
  /** The settings file is invalid. */
  SETTINGS_INVALID(1004, Severity.ERROR, "Settings are invalid"),
  /** A task of the control thread failed. */
  CONTROL_TASK_FAILED(1005, Severity.ERROR, "Control task failed"),
  /** Lines of the log were left out because it could not be written fast enough. */
  LOG_LINES_LEFT_OUT(1006, Severity.WARNING, "Log lines left out"),
  /** The settings were read again. */
  SETTINGS_RELOADED(1007, Severity.INFO, "Settings read again"),
  /** The control thread took over what the store says of servers, zones and members. */
  FLEET_CHANGED(2201, Severity.INFO, "Fleet changed"),
  /** A configuration revision is in force here. */
  CONFIGURATION_IN_FORCE(2001, Severity.INFO, "Configuration revision in force"),
  /** An operator's change was accepted. */
  CONFIGURATION_ACCEPTED(2002, Severity.INFO, "Configuration change accepted"),
  /** An operator's change was refused. */
  CONFIGURATION_REFUSED(2003, Severity.WARNING, "Configuration change refused"),
  /** It is not known whether an operator's change was accepted. */
  CONFIGURATION_UNKNOWN(2004, Severity.WARNING, "Configuration change with unknown outcome"),
  /** A document of the configuration was unreadable and was not used. */
  CONFIGURATION_UNREADABLE(2005, Severity.ERROR, "Configuration document unreadable"),
  /** The platform's service can't be reached. */
  PLATFORM_LOST(2101, Severity.WARNING, "Platform service lost"),
  /** The platform's service answers again. */
  PLATFORM_FOUND(2102, Severity.INFO, "Platform service found"),
  /** Nothing confirms that the keys are current; keyed requests are refused. */
  KEYS_NOT_CONFIRMED(2103, Severity.WARNING, "Keys not confirmed"),
  /** The keys are confirmed as current again. */
  KEYS_CONFIRMED(2104, Severity.INFO, "Keys confirmed"),
  /** Another entry instance became reachable. */
  PEER_ALIVE(3001, Severity.INFO, "Entry instance alive"),
  /** Another entry instance is silent. */
  PEER_SILENT(3002, Severity.WARNING, "Entry instance silent"),
  /** A frame from another process was refused and its connection closed. */
  PEER_FRAME_REFUSED(3003, Severity.WARNING, "Peer frame refused"),
  /** A process could not prove that it is an entry instance; its connection was closed. */
  PEER_HANDSHAKE_REFUSED(3004, Severity.WARNING, "Peer handshake refused"),
  /** The control thread did not run for a while: the process was paused or starved. */
  CONTROL_PAUSED(3005, Severity.WARNING, "Control thread was paused"),
  /** A request was refused by this entry instance. */
  REQUEST_REFUSED(4001, Severity.DEBUG, "Request refused"),
  /** A request was sent to a backend server. */
  REQUEST_SENT(4002, Severity.DEBUG, "Request sent to backend server"),
  /** A request was answered by a backend server. */
  REQUEST_ANSWERED(4003, Severity.DEBUG, "Request answered"),
  /** A request's outcome is not known. */
  REQUEST_UNKNOWN(4004, Severity.WARNING, "Request outcome unknown"),
  /** The traffic of a selector is where the selector says. */
  SHIFT_SETTLED(4501, Severity.INFO, "Shift settled"),
  /** The traffic of a selector moves under its cap. */
  SHIFT_MOVING(4502, Severity.INFO, "Shift moving"),
  /** A destination is not ready, so the traffic of a selector does not move. */
  SHIFT_HELD(4503, Severity.WARNING, "Shift held"),
  /** An operator paused the shift of a selector. */
  SHIFT_PAUSED(4504, Severity.INFO, "Shift paused"),
  /** This instance holds other slots of its availability zone than before. */
  LIMIT_SLOTS_CHANGED(5001, Severity.INFO, "Limit slots changed"),
  /** A majority of the zone's slots did not confirm this instance, so it spends only loans. */
  LIMIT_SLOTS_UNCONFIRMED(5002, Severity.WARNING, "Limit slots not confirmed"),
  /** A majority of the zone's slots confirms this instance again. */
  LIMIT_SLOTS_CONFIRMED(5003, Severity.INFO, "Limit slots confirmed");

  private final int number;
  private final Severity severity;
  private final String title;

  EventCode(int number, Severity severity, String title) {
    this.number = number;
    this.severity = severity;
    this.title = title;
  }

  /** Returns the number of the event. */
  public int number() {
    return number;
  }

  /** Returns how serious the event is. */
  public Severity severity() {
    return severity;
  }

  /** Returns a short English title. */
  public String title() {
    return title;
  }
}
