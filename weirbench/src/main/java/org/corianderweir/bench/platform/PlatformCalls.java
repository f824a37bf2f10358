package org.corianderweir.bench.platform;

/**
 * Numbers of calls to the platform's service. A watch counts as one call.
 *
 * @param writes number of compare-and-swaps, deletions and lease calls
 * @param reads number of reads, watches and listings of the instances
 * @param refused number of calls refused because they exceeded the rates
 */
public record PlatformCalls(long writes, long reads, long refused) {}
