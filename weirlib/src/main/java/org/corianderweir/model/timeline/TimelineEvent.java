package org.corianderweir.model.timeline;

/**
 * An event of a process.
 *
 * @param timestamp time of the event
 * @param process name of the process
 * @param code code of the event
 * @param subject what the event is about, for example a request identifier or a revision
 * @param detail further details for people; may be empty
 */
public record TimelineEvent(
    HybridTimestamp timestamp, String process, EventCode code, String subject, String detail) {}
