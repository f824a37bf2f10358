package org.corianderweir.http;

import java.time.Duration;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.nio.NIOTransport;
import org.glassfish.grizzly.nio.SelectorHandler;
import org.glassfish.grizzly.nio.SelectorRunner;

/** Runs tasks on the thread that reads from the connections of a transport. */
final class SelectorThread {
  private final NIOTransport transport;
  private final SelectorRunner runner;

  SelectorThread(NIOTransport transport, SelectorRunner runner) {
    this.transport = transport;
    this.runner = runner;
  }

  /**
   * Runs a task between two reads, and waits for it. A task that is not run in time may run later.
   *
   * @return whether the task was run in time
   */
  boolean run(Runnable task, Duration limit) throws InterruptedException {
    CompletableFuture<Void> done = new CompletableFuture<>();
    transport
        .getSelectorHandler()
        .execute(
            runner,
            () -> {
              task.run();
              return true;
            },
            new EmptyCompletionHandler<SelectorHandler.Task>() {
              @Override
              public void completed(SelectorHandler.Task unused) {
                done.complete(null);
              }

              @Override
              public void cancelled() {
                done.cancel(false);
              }

              @Override
              public void failed(Throwable failure) {
                done.completeExceptionally(failure);
              }
            });
    try {
      done.get(limit.toNanos(), TimeUnit.NANOSECONDS);
      return true;
    } catch (TimeoutException | ExecutionException | CancellationException notRun) {
      return false;
    }
  }
}
