package org.corianderweir.http;

import org.glassfish.grizzly.memory.HeapMemoryManager;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;

/** Bounds the memory that one read of a connection takes. */
public final class TransportMemory {
  /** Bytes that are read at once; by default it is the receive buffer of the socket, up to 6 MB. */
  static final int READ_BYTES = 16 * 1024;

  /**
   * Size of the arrays that small buffers share. With the default of 64 KiB, a few bytes that were
   * kept from each of 350 reads kept 22 MB alive.
   */
  private static final int SHARED_ARRAY_BYTES = 4 * 1024;

  private static final HeapMemoryManager MANAGER = new HeapMemoryManager(SHARED_ARRAY_BYTES);

  private TransportMemory() {}

  /** Configures a transport that does not run yet. */
  public static void configure(TCPNIOTransport transport) {
    transport.setMemoryManager(MANAGER);
    transport.setReadBufferSize(READ_BYTES);
  }
}
