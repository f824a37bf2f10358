package org.corianderweir.model.configuration;

/**
 * The client blocks whose addresses begin with one octet, packed. One chunk is the unit in which
 * client blocks are stored and spread.
 *
 * @param firstOctet first octet of the addresses, from 0 to 255
 * @param packed blocks as packed by {@code ClientBlockPacking}
 */
public record ClientBlockChunk(int firstOctet, String packed) {}
