package org.corianderweir.model.configuration;

/**
 * The link from one region to another; the way back is a link of its own.
 *
 * @param fromRegion region where the traffic starts
 * @param toRegion region where it ends
 * @param megabitsPerSecond capacity for all traffic of the system together
 */
public record Link(String fromRegion, String toRegion, double megabitsPerSecond) {}
