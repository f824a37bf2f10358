package org.corianderweir.model.configuration;

import java.util.List;

/**
 * A region and its concurrency limit.
 *
 * @param name unique name
 * @param concurrency largest number of requests that its backend servers may run at the same time;
 *     zero means that only their slots limit them
 * @param labels labels that operators attached to the region
 */
public record Region(String name, int concurrency, List<Label> labels) {
  /** Copies the list. */
  public Region {
    labels = List.copyOf(labels);
  }
}
