package org.corianderweir.daemon;

import java.io.PrintStream;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.LogRecord;

/**
 * Writes log lines on a separate thread, so that logging never blocks its caller. If the queue is
 * full, a line is dropped, and the number of dropped lines is logged with the next lines.
 */
final class AsyncLogHandler extends Handler {
  private static final int QUEUE_CAPACITY_LINES = 4096;

  /** Time for which a close waits for lines that are being written. */
  private static final long CLOSE_TIMEOUT_MILLISECONDS = 1_000;

  private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY_LINES);
  private final AtomicLong droppedLines = new AtomicLong();
  private final PrintStream output;
  private final Thread writer;

  AsyncLogHandler(PrintStream output, Formatter formatter) {
    this.output = output;
    setFormatter(formatter);
    writer = new Thread(this::writeQueuedLines, "log");
    writer.setDaemon(true);
    writer.start();
  }

  @Override
  public void publish(LogRecord record) {
    if (isLoggable(record) && !queue.offer(getFormatter().format(record))) {
      droppedLines.incrementAndGet();
    }
  }

  /** Flushes the output without waiting for queued lines, which the writer thread writes. */
  @Override
  public void flush() {
    output.flush();
  }

  /** Writes the queued lines and ends the writer thread. */
  @Override
  public void close() {
    writer.interrupt();
    try {
      writer.join(CLOSE_TIMEOUT_MILLISECONDS);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
    StringBuilder rest = new StringBuilder();
    appendQueued(rest);
    output.print(rest);
    output.flush();
  }

  private void appendQueued(StringBuilder lines) {
    String line = queue.poll();
    while (line != null) {
      lines.append(line);
      line = queue.poll();
    }
  }

  private void writeQueuedLines() {
    StringBuilder lines = new StringBuilder();
    try {
      while (true) {
        lines.append(queue.take());
        appendQueued(lines);
        long dropped = droppedLines.getAndSet(0);
        if (dropped > 0) {
          lines.append("level=WARN event=WEIR-1006 title=\"Log lines left out\" lines=");
          lines.append(dropped).append(System.lineSeparator());
        }
        output.print(lines);
        output.flush();
        lines.setLength(0);
      }
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }
}
