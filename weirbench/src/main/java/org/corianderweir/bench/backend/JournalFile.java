package org.corianderweir.bench.backend;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.corianderweir.protocol.Json;

/**
 * A journal file that survives the end of its process. It has one line for each state of each
 * request.
 */
public final class JournalFile {
  private final Optional<Writer> writer;

  private record Line(int position, JournalEntry entry) {}

  private record EntryPosition(String server, int position) {}

  private JournalFile(Optional<Writer> writer) {
    this.writer = writer;
  }

  /** Returns a journal file that discards all entries. */
  public static JournalFile none() {
    return new JournalFile(Optional.empty());
  }

  /**
   * Creates a file. Several servers may write to it.
   *
   * @throws UncheckedIOException if the file can't be written
   */
  public static JournalFile create(Path path) {
    try {
      return new JournalFile(Optional.of(Files.newBufferedWriter(path)));
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  /**
   * Reads the latest state of each request. An incomplete last line is ignored.
   *
   * @throws UncheckedIOException if the file can't be read
   */
  public static List<JournalEntry> read(Path path) {
    Map<EntryPosition, JournalEntry> latest = new LinkedHashMap<>();
    try {
      String text = Files.readString(path);
      int end = text.lastIndexOf('\n') + 1;
      text.substring(0, end)
          .lines()
          .map(line -> Json.read(line, Line.class))
          .forEach(
              line ->
                  latest.put(
                      new EntryPosition(line.entry().server(), line.position()), line.entry()));
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
    return List.copyOf(latest.values());
  }

  synchronized void write(int position, JournalEntry entry) {
    if (writer.isEmpty()) {
      return;
    }
    try {
      writer.get().write(Json.write(new Line(position, entry)) + '\n');
      writer.get().flush();
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }
}
