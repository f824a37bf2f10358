package org.corianderweir.http;

import java.util.concurrent.Executor;
import java.util.function.BooleanSupplier;

/**
 * What the connections of a listener have in common.
 *
 * @param handler handles the requests
 * @param bodyLimitBytes largest request body that is accepted
 * @param memory memory of the request bodies and of bytes that are read ahead
 * @param account counts the requests in progress
 * @param executor runs the request handler
 * @param isStopping whether the listener stops, so that connections end with their next response
 */
record ListenerContext(
    CallerRequestHandler handler,
    int bodyLimitBytes,
    BodyMemory memory,
    RequestAccount account,
    Executor executor,
    BooleanSupplier isStopping) {}
