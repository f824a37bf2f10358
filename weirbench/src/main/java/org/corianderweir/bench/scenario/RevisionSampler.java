package org.corianderweir.bench.scenario;

import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.corianderweir.bench.observer.RevisionSample;
import org.corianderweir.bench.process.Fleet;
import org.corianderweir.model.topology.EntryInstance;

/** Periodically asks every entry instance which configuration revision it has in force. */
final class RevisionSampler implements AutoCloseable {
  private static final long SAMPLE_INTERVAL_MILLISECONDS = 250;
  private static final long TERMINATION_TIMEOUT_SECONDS = 6;

  private final Fleet fleet;
  private final Queue<RevisionSample> samples = new ConcurrentLinkedQueue<>();
  private final ScheduledExecutorService timer;

  RevisionSampler(Fleet fleet) {
    this.fleet = fleet;
    timer =
        Executors.newScheduledThreadPool(
            fleet.layout().entryInstances().size(),
            task -> Thread.ofPlatform().daemon().name("revisions").unstarted(task));
  }

  void start() {
    for (EntryInstance instance : fleet.layout().entryInstances()) {
      timer.scheduleWithFixedDelay(
          () -> sample(instance), 0, SAMPLE_INTERVAL_MILLISECONDS, TimeUnit.MILLISECONDS);
    }
  }

  List<RevisionSample> samples() {
    return List.copyOf(samples);
  }

  @Override
  public void close() {
    timer.shutdown();
    try {
      timer.awaitTermination(TERMINATION_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  private void sample(EntryInstance instance) {
    long process = fleet.processes().get(instance.name()).pid();
    long askedNanoseconds = System.nanoTime();
    long revision = fleet.client().revisionInForce(instance);
    boolean sameProcess = fleet.processes().get(instance.name()).pid() == process;
    if (revision > 0 && sameProcess) {
      samples.add(
          new RevisionSample(
              instance.name(), process, askedNanoseconds, System.nanoTime(), revision));
    }
  }
}
