package org.corianderweir.model.configuration;

/**
 * The packed client blocks whose addresses have the same first octet. Client blocks are stored and
 * distributed in units of one chunk.
 *
 * @param firstOctet first octet of the addresses, from 0 to 255
 * @param packed text of the blocks in the format of {@code ClientBlockPacking}
 */
public record ClientBlockChunk(int firstOctet, String packed) {}
