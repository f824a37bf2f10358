package org.corianderweir.model.traffic;

/**
 * Names of the header fields between callers, entry instances and backend servers.
 *
 * @param requestIdentifier identifier of a request, given by the caller and echoed by servers
 * @param deadlineMilliseconds how long the caller waits, in milliseconds
 * @param accessKey key of the caller's organisation
 * @param organisation organisation whose key a request came with
 * @param expectedServer server that alone may run a request
 * @param affinity object that a request concerns
 * @param notRun says that a server did not run a request and never will
 * @param serverStamp signature of a server's answer
 * @param serverLoad running requests, waiting requests and slots of a server
 * @param coldMilliseconds how much longer a server is cold, in milliseconds
 * @param serverIdentifier identifier of the server that answers
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
    String serverIdentifier) {}
