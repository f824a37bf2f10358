package org.corianderweir.model.traffic;

/**
 * Names of the header fields between callers, entry instances and backend servers.
 *
 * @param requestIdentifier identifier of a request, given by the caller and echoed by servers
 * @param deadlineMilliseconds time until the deadline of the request, in milliseconds
 * @param accessKey access key of the caller's organisation
 * @param organisation organisation whose access key a request carries
 * @param expectedServer identifier of the only server that may run a request
 * @param affinity affinity key of a request: the object that it concerns
 * @param notRun present if a server did not run a request and never will
 * @param serverStamp signature of a server's answer
 * @param serverLoad numbers of running requests, waiting requests and slots of a server, and its
 *     speed
 * @param coldMilliseconds remaining time for which a server is cold, in milliseconds
 * @param serverIdentifier identifier of the server that answers
 * @param serverLeaving present if the server that answers leaves
 */
public record HeaderNames(
    String requestIdentifier,
    String deadlineMilliseconds,
    String accessKey,
    String organisation,
    String expectedServer,
    String affinity,
    String notRun,
    String serverStamp,
    String serverLoad,
    String coldMilliseconds,
    String serverIdentifier,
    String serverLeaving) {}
