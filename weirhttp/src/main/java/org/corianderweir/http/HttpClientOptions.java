package org.corianderweir.http;

import java.time.Duration;

/**
 * How a client uses its connections.
 *
 * @param name name of the client, used for its threads
 * @param connectTimeout longest time to open a connection
 * @param idleLifetime idle connections older than this are closed instead of used
 * @param answerLimitBytes largest body that is accepted
 */
public record HttpClientOptions(
    String name, Duration connectTimeout, Duration idleLifetime, int answerLimitBytes) {}
