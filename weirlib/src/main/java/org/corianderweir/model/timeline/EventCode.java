package org.corianderweir.model.timeline;

/** The events that are logged. Numbers are never reused; docs/EVENTS.md explains the events. */
public enum EventCode {
  /** The daemon has started its services. */
  INSTANCE_STARTED(1001, Severity.INFO, "Entry instance started"),
  /** A planned shutdown has begun. */
  INSTANCE_LEAVING(1002, Severity.INFO, "Entry instance is leaving"),
  /** The daemon has completed its requests and stops. */
  INSTANCE_STOPPED(1003, Severity.INFO, "Entry instance stopped"),
  /** The settings file is invalid. */
  SETTINGS_INVALID(1004, Severity.ERROR, "Settings are invalid"),
  /** A task of the control thread failed. */
  CONTROL_TASK_FAILED(1005, Severity.ERROR, "Control task failed"),
  /** Log lines were dropped because the log could not be written fast enough. */
  LOG_LINES_LEFT_OUT(1006, Severity.WARNING, "Log lines left out"),
  /** The settings were reloaded. */
  SETTINGS_RELOADED(1007, Severity.INFO, "Settings read again"),
  /** The control thread applied the store's current servers, zones and members. */
  FLEET_CHANGED(2201, Severity.INFO, "Fleet changed"),
  /** The instance begins to watch the store itself or to follow another one. */
  STORE_SOURCE_CHANGED(2202, Severity.INFO, "Source of store changes"),
  /** A configuration revision is in force at this instance. */
  CONFIGURATION_IN_FORCE(2001, Severity.INFO, "Configuration revision in force"),
  /** An operator's change was accepted. */
  CONFIGURATION_ACCEPTED(2002, Severity.INFO, "Configuration change accepted"),
  /** An operator's change was refused. */
  CONFIGURATION_REFUSED(2003, Severity.WARNING, "Configuration change refused"),
  /** It is not known whether an operator's change was accepted. */
  CONFIGURATION_UNKNOWN(2004, Severity.WARNING, "Configuration change with unknown outcome"),
  /** A document of the configuration was unreadable and was not used. */
  CONFIGURATION_UNREADABLE(2005, Severity.ERROR, "Configuration document unreadable"),
  /** A route has a kind that this version does not know; its requests run at most once. */
  ROUTE_KIND_UNKNOWN(2006, Severity.WARNING, "Route of unknown kind"),
  /** A service of the platform can't be reached. */
  PLATFORM_LOST(2101, Severity.WARNING, "Platform service lost"),
  /** A service of the platform answers again. */
  PLATFORM_FOUND(2102, Severity.INFO, "Platform service found"),
  /** The keys can't be confirmed as current; requests with a key are refused. */
  KEYS_NOT_CONFIRMED(2103, Severity.WARNING, "Keys not confirmed"),
  /** The keys are confirmed as current again. */
  KEYS_CONFIRMED(2104, Severity.INFO, "Keys confirmed"),
  /** Another entry instance became reachable. */
  PEER_ALIVE(3001, Severity.INFO, "Entry instance alive"),
  /** No more messages arrive from another entry instance. */
  PEER_SILENT(3002, Severity.WARNING, "Entry instance silent"),
  /** A frame from another process was refused and its connection closed. */
  PEER_FRAME_REFUSED(3003, Severity.WARNING, "Peer frame refused"),
  /** A process failed to authenticate as an entry instance; its connection was closed. */
  PEER_HANDSHAKE_REFUSED(3004, Severity.WARNING, "Peer handshake refused"),
  /** The control thread did not run for a while, because the process was paused or lacked CPU. */
  CONTROL_PAUSED(3005, Severity.WARNING, "Control thread was paused"),
  /** The instance that collects what servers report in the zone was chosen, lost or found. */
  REPORT_COLLECTOR_CHANGED(3006, Severity.INFO, "Collector of server reports changed"),
  /** A request was refused by this entry instance. */
  REQUEST_REFUSED(4001, Severity.DEBUG, "Request refused"),
  /** A request was sent to a backend server. */
  REQUEST_SENT(4002, Severity.DEBUG, "Request sent to backend server"),
  /** A request was answered by a backend server. */
  REQUEST_ANSWERED(4003, Severity.DEBUG, "Request answered"),
  /** The outcome of a request is unknown. */
  REQUEST_UNKNOWN(4004, Severity.WARNING, "Request outcome unknown"),
  /** A caller closed its connection before its request was answered. */
  CALLER_LEFT(4005, Severity.DEBUG, "Caller left"),
  /** The handling of a request failed by an unexpected error. */
  REQUEST_FAILED(4006, Severity.ERROR, "Request failed unexpectedly"),
  /** An answer of a backend server changed what is believed of the server. */
  SERVER_CONDITION_CHANGED(4007, Severity.INFO, "Server condition changed"),
  /** A request waits at the instance or is rejected, because the servers lack capacity. */
  REQUEST_WITHOUT_ROOM(4008, Severity.DEBUG, "Request without room"),
  /** The traffic of a selector has the shares of its destinations; no shift is in progress. */
  SHIFT_SETTLED(4501, Severity.INFO, "Shift settled"),
  /** The traffic of a selector is moving at the rate of its cap. */
  SHIFT_MOVING(4502, Severity.INFO, "Shift moving"),
  /** The shift of a selector is on hold because a destination is not ready for more traffic. */
  SHIFT_HELD(4503, Severity.WARNING, "Shift held"),
  /** An operator paused the shift of a selector. */
  SHIFT_PAUSED(4504, Severity.INFO, "Shift paused"),
  /** The set of limit slots of the availability zone that this instance holds has changed. */
  LIMIT_SLOTS_CHANGED(5001, Severity.INFO, "Limit slots changed"),
  /** No majority of the zone's slots confirms this instance; it may use only borrowed quota. */
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

  /** Returns the severity of the event. */
  public Severity severity() {
    return severity;
  }

  /** Returns a short English title. */
  public String title() {
    return title;
  }
}
