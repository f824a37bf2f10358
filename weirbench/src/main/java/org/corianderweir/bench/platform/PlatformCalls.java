package org.corianderweir.bench.platform;

/**
 * How many calls the service has had; a watch is one.
 *
 * @param writes compare-and-swaps, deletions and lease calls
 * @param reads reads, watches and lists
 * @param refused calls above the rates
 */
public record PlatformCalls(long writes, long reads, long refused) {}
