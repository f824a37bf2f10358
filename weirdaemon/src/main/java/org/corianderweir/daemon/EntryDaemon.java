package org.corianderweir.daemon;

import java.util.concurrent.CountDownLatch;
import org.corianderweir.daemon.entry.EntryInstanceServices;
import org.corianderweir.daemon.settings.EntrySettings;
import org.corianderweir.kernel.TimeSource;
import org.corianderweir.model.timeline.EventCode;

/** An entry instance on the platform, run until a planned stop. */
final class EntryDaemon {
  private final EntryInstanceServices services;
  private final CountDownLatch stopRequested = new CountDownLatch(1);
  private final CountDownLatch stopped = new CountDownLatch(1);

  EntryDaemon(EntrySettings settings, TimeSource time) {
    services = new EntryInstanceServices(settings, time);
  }

  /** Starts the services and returns after a planned stop. */
  void run() {
    Runtime.getRuntime().addShutdownHook(new Thread(this::stopAndExit, "shutdown"));
    services.start();
    try {
      stopRequested.await();
      services.record(EventCode.INSTANCE_LEAVING);
      services.leave();
      services.record(EventCode.INSTANCE_STOPPED);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    } finally {
      stopped.countDown();
    }
  }

  private void stopAndExit() {
    stopRequested.countDown();
    try {
      stopped.await();
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
    Runtime.getRuntime().halt(0);
  }
}
