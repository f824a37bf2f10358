package org.corianderweir.daemon;

import java.util.List;
import sun.misc.Signal;

/**
 * The signals by which the platform tells a process to stop. They do not start the shutdown of the
 * virtual machine, whose hooks would close the log while requests are still being answered.
 */
final class StopSignals {
  private static final List<String> NAMES = List.of("TERM", "INT");

  private StopSignals() {}

  /** Calls an action on each of the signals, on a thread of the virtual machine. */
  static void handle(Runnable action) {
    NAMES.forEach(name -> Signal.handle(new Signal(name), unused -> action.run()));
  }
}
