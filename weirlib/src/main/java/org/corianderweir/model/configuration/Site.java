package org.corianderweir.model.configuration;

/**
 * A site to which client blocks are steered.
 *
 * @param number unique number by which client blocks refer to the site, from 0 to 65534
 * @param name unique name
 * @param availabilityZone availability zone whose entry instances serve the site's clients
 */
public record Site(int number, String name, String availabilityZone) {}
