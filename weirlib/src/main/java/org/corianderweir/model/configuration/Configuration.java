package org.corianderweir.model.configuration;

import java.util.List;

/**
 * The configuration that operators maintain, as one immutable value. The revision grows by one with
 * each accepted change.
 *
 * @param revision revision number of this configuration
 * @param operation identifier of the change that made this revision; an operator whose answer was
 *     lost can read the configuration to find out whether the change was accepted
 * @param regions regions
 * @param links links between regions
 * @param zones availability zones
 * @param sites sites to which client blocks are steered
 * @param clientBlocks packed client blocks, with at most one chunk for each first octet
 * @param organisations organisations
 * @param keys access keys in force
 * @param backendServers backend servers
 * @param selectors selectors
 */
public record Configuration(
    long revision,
    String operation,
    List<Region> regions,
    List<Link> links,
    List<AvailabilityZone> zones,
    List<Site> sites,
    List<ClientBlockChunk> clientBlocks,
    List<Organisation> organisations,
    List<AccessKey> keys,
    List<BackendServer> backendServers,
    List<Selector> selectors) {
  /** The configuration before the first change. */
  public static final Configuration EMPTY = builder().build();

  /** Copies the lists. */
  public Configuration {
    regions = List.copyOf(regions);
    links = List.copyOf(links);
    zones = List.copyOf(zones);
    sites = List.copyOf(sites);
    clientBlocks = List.copyOf(clientBlocks);
    organisations = List.copyOf(organisations);
    keys = List.copyOf(keys);
    backendServers = List.copyOf(backendServers);
    selectors = List.copyOf(selectors);
  }

  /** Returns a builder of an empty configuration at revision zero. */
  public static Builder builder() {
    return new Builder();
  }

  /** Returns a builder that starts from this configuration. */
  public Builder toBuilder() {
    return new Builder()
        .revision(revision)
        .operation(operation)
        .regions(regions)
        .links(links)
        .zones(zones)
        .sites(sites)
        .clientBlocks(clientBlocks)
        .organisations(organisations)
        .keys(keys)
        .backendServers(backendServers)
        .selectors(selectors);
  }

  /** A builder of configurations. */
  public static final class Builder {
    private long revision;
    private String operation = "";
    private List<Region> regions = List.of();
    private List<Link> links = List.of();
    private List<AvailabilityZone> zones = List.of();
    private List<Site> sites = List.of();
    private List<ClientBlockChunk> clientBlocks = List.of();
    private List<Organisation> organisations = List.of();
    private List<AccessKey> keys = List.of();
    private List<BackendServer> backendServers = List.of();
    private List<Selector> selectors = List.of();

    private Builder() {}

    /** Sets the revision. */
    public Builder revision(long value) {
      revision = value;
      return this;
    }

    /** Sets the identifier of the change. */
    public Builder operation(String value) {
      operation = value;
      return this;
    }

    /** Sets the regions. */
    public Builder regions(List<Region> value) {
      regions = value;
      return this;
    }

    /** Sets the links between regions. */
    public Builder links(List<Link> value) {
      links = value;
      return this;
    }

    /** Sets the availability zones. */
    public Builder zones(List<AvailabilityZone> value) {
      zones = value;
      return this;
    }

    /** Sets the sites. */
    public Builder sites(List<Site> value) {
      sites = value;
      return this;
    }

    /** Sets the packed client blocks. */
    public Builder clientBlocks(List<ClientBlockChunk> value) {
      clientBlocks = value;
      return this;
    }

    /** Sets the organisations. */
    public Builder organisations(List<Organisation> value) {
      organisations = value;
      return this;
    }

    /** Sets the keys. */
    public Builder keys(List<AccessKey> value) {
      keys = value;
      return this;
    }

    /** Sets the backend servers. */
    public Builder backendServers(List<BackendServer> value) {
      backendServers = value;
      return this;
    }

    /** Sets the selectors. */
    public Builder selectors(List<Selector> value) {
      selectors = value;
      return this;
    }

    /** Builds the configuration. */
    public Configuration build() {
      return new Configuration(
          revision,
          operation,
          regions,
          links,
          zones,
          sites,
          clientBlocks,
          organisations,
          keys,
          backendServers,
          selectors);
    }
  }
}
