package org.corianderweir.model.timeline;

/**
 * One event of one process.
 *
 * @param timestamp when it happened
 * @param process name of the process
 * @param code what happened
 * @param subject what it happened to, for example a request identifier or a revision
 * @param detail more for people; may be empty
 */
public record TimelineEvent(
    HybridTimestamp timestamp, String process, EventCode code, String subject, String detail) {}
