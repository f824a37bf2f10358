package org.corianderweir.http;

/**
 * Where and how a server listens.
 *
 * @param name name of the interface, used for its threads
 * @param host IP address
 * @param port TCP port; zero lets the system choose
 * @param bodyLimitBytes largest body that is accepted
 * @param workerThreads threads that read requests and start answers
 */
public record HttpListenerOptions(
    String name, String host, int port, int bodyLimitBytes, int workerThreads) {}
