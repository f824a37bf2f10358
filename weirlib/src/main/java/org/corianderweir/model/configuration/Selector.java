package org.corianderweir.model.configuration;

import java.util.List;
import java.util.Optional;

/**
 * A rule that routes requests to backend servers: it has the path that it matches, the
 * organisations that may use it, the destinations with their weights, and limits.
 *
 * @param name unique name
 * @param pathPrefix prefix of the paths of matching requests; of several matching selectors, the
 *     one with the longest prefix is used
 * @param service service whose backend servers answer the requests
 * @param open whether requests are accepted without a key
 * @param organisations names of the organisations that may use the route; empty means all
 * @param destinations groups of backend servers and their weights, at least one
 * @param concurrency largest number of requests that may run at the same time in the whole fleet;
 *     zero means that only the limits of servers, regions and links apply
 * @param capPerSecond largest share of the traffic that may move in a second, above 0 up to 1
 * @param shift shift that moves the traffic to the destinations; empty if the shares never had to
 *     move
 */
public record Selector(
    String name,
    String pathPrefix,
    String service,
    boolean open,
    List<String> organisations,
    List<Destination> destinations,
    int concurrency,
    double capPerSecond,
    Optional<Shift> shift) {
  /** The cap of a selector that gives none: 5% of its traffic per second. */
  public static final double DEFAULT_CAP_PER_SECOND = 0.05;

  /** Copies the lists. */
  public Selector {
    organisations = List.copyOf(organisations);
    destinations = List.copyOf(destinations);
  }

  /**
   * Creates a selector without a concurrency limit that uses every backend server of the service.
   */
  public Selector(
      String name, String pathPrefix, String service, boolean open, List<String> organisations) {
    this(
        name,
        pathPrefix,
        service,
        open,
        organisations,
        List.of(Destination.ANYWHERE),
        0,
        DEFAULT_CAP_PER_SECOND,
        Optional.empty());
  }

  /** Returns a builder of a selector for requests with a key. */
  public static Builder builder(String name, String pathPrefix, String service) {
    return new Builder(new Selector(name, pathPrefix, service, false, List.of()));
  }

  /** Returns a builder that starts from this selector. */
  public Builder toBuilder() {
    return new Builder(this);
  }

  /** A builder of selectors. */
  public static final class Builder {
    private final Selector start;
    private boolean open;
    private List<String> organisations;
    private List<Destination> destinations;
    private int concurrency;
    private double capPerSecond;
    private Optional<Shift> shift;

    private Builder(Selector start) {
      this.start = start;
      open = start.open();
      organisations = start.organisations();
      destinations = start.destinations();
      concurrency = start.concurrency();
      capPerSecond = start.capPerSecond();
      shift = start.shift();
    }

    /** Sets whether requests are accepted without a key. */
    public Builder open(boolean value) {
      open = value;
      return this;
    }

    /** Sets the organisations that may use the route. */
    public Builder organisations(List<String> value) {
      organisations = value;
      return this;
    }

    /** Sets the destinations. */
    public Builder destinations(List<Destination> value) {
      destinations = value;
      return this;
    }

    /** Sets the number of requests that may run at the same time; zero means no limit. */
    public Builder concurrency(int value) {
      concurrency = value;
      return this;
    }

    /** Sets the largest share of the traffic that may move in a second. */
    public Builder capPerSecond(double value) {
      capPerSecond = value;
      return this;
    }

    /** Sets the shift that moves the traffic to the destinations. */
    public Builder shift(Optional<Shift> value) {
      shift = value;
      return this;
    }

    /** Builds the selector. */
    public Selector build() {
      return new Selector(
          start.name(),
          start.pathPrefix(),
          start.service(),
          open,
          organisations,
          destinations,
          concurrency,
          capPerSecond,
          shift);
    }
  }
}
