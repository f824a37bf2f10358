package org.corianderweir.daemon;

import java.io.File;
import java.util.concurrent.CountDownLatch;
import org.corianderweir.daemon.entry.EntryInstanceServices;
import org.corianderweir.daemon.settings.EntrySettingDeclarations;
import org.corianderweir.daemon.settings.EntrySettings;
import org.corianderweir.kernel.TimeSource;
import org.corianderweir.model.timeline.EventCode;
import sun.misc.Signal;

/** Runs an entry instance that uses the platform's store until a planned stop. */
final class EntryDaemon {
  private final EntryInstanceServices services;
  private final CountDownLatch stopRequested = new CountDownLatch(1);
  private final File settingsFile;

  EntryDaemon(File settingsFile, EntrySettings settings, TimeSource time) {
    this.settingsFile = settingsFile;
    services = new EntryInstanceServices(settings, time);
  }

  /** Starts the services and returns after a planned stop. */
  void run() {
    StopSignals.handle(stopRequested::countDown);
    Signal.handle(new Signal("HUP"), unused -> reload());
    services.start();
    try {
      stopRequested.await();
      services.record(EventCode.INSTANCE_LEAVING);
      services.stopGracefully();
      services.record(EventCode.INSTANCE_STOPPED);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  /** Reads the settings again. Changed addresses take effect only at the next start. */
  private void reload() {
    try {
      services.reload(EntrySettingDeclarations.read(settingsFile));
    } catch (RuntimeException invalid) {
      services.settingsInvalid(String.valueOf(invalid.getMessage()));
    }
  }
}
