import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** Passes connections on to an address, and delays, holds back or drops what they carry. */
final class Proxy {
  enum Mode {
    PASS,
    DELAY,
    /** Nothing passes, and nothing is answered. */
    SILENT,
    /** Calls pass, answers are dropped. */
    NO_ANSWERS,
    RESET
  }

  private final ServerSocket socket;
  private final String target;
  volatile Mode mode = Mode.PASS;
  volatile long delayMilliseconds = 280;

  Proxy(String target) throws IOException {
    this.target = target;
    socket = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
    Thread.ofVirtual().start(this::accept);
  }

  String address() {
    return "127.0.0.1:" + socket.getLocalPort();
  }

  private void accept() {
    while (true) {
      try {
        Socket caller = socket.accept();
        if (mode == Mode.RESET) {
          caller.setSoLinger(true, 0);
          caller.close();
          continue;
        }
        int colon = target.lastIndexOf(':');
        Socket called =
            new Socket(
                target.substring(0, colon), Integer.parseInt(target.substring(colon + 1)));
        Thread.ofVirtual().start(() -> pass(caller, called, false));
        Thread.ofVirtual().start(() -> pass(called, caller, true));
      } catch (IOException closed) {
        if (socket.isClosed()) {
          return;
        }
      }
    }
  }

  private void pass(Socket from, Socket to, boolean answers) {
    boolean dropped = false;
    try (from;
        to) {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      byte[] bytes = new byte[16_384];
      for (int count = in.read(bytes); count >= 0; count = in.read(bytes)) {
        if (mode == Mode.RESET) {
          from.setSoLinger(true, 0);
          to.setSoLinger(true, 0);
          return;
        }
        // A connection on which bytes were dropped carries nothing any more.
        dropped |= mode == Mode.SILENT || (answers && mode == Mode.NO_ANSWERS);
        if (dropped) {
          continue;
        }
        if (mode == Mode.DELAY) {
          Run.sleep(delayMilliseconds);
        }
        out.write(bytes, 0, count);
      }
    } catch (IOException ended) {
      // Both sides are closed.
    }
  }
}
