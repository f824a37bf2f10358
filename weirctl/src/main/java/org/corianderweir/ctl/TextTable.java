package org.corianderweir.ctl;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** A table of text whose columns are aligned. */
public final class TextTable {
  private static final String COLUMN_SEPARATOR = "  ";

  private final List<List<String>> rows = new ArrayList<>();

  /** Creates a table with column headings. */
  public TextTable(String... headings) {
    rows.add(Arrays.asList(headings));
  }

  /** Adds a row with as many cells as there are headings. */
  public void add(Object... cells) {
    rows.add(Arrays.stream(cells).map(String::valueOf).toList());
  }

  /** Returns the lines of the table. The first line has the headings. */
  public List<String> lines() {
    return rows.stream().map(this::line).toList();
  }

  private String line(List<String> row) {
    StringBuilder line = new StringBuilder();
    for (int column = 0; column < row.size(); column++) {
      line.append(row.get(column));
      line.append(" ".repeat(width(column) - row.get(column).length())).append(COLUMN_SEPARATOR);
    }
    return line.toString().stripTrailing();
  }

  private int width(int column) {
    return rows.stream().mapToInt(row -> row.get(column).length()).max().orElse(0);
  }
}
