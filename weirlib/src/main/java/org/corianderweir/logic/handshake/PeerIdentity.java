package org.corianderweir.logic.handshake;

/**
 * The entry instance at the other end of an authenticated connection.
 *
 * @param name name of the instance
 * @param incarnation grows with each start of its process
 */
public record PeerIdentity(String name, long incarnation) {}
