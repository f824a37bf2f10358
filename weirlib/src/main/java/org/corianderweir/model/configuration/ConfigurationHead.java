package org.corianderweir.model.configuration;

/**
 * The head of the configuration. A change is accepted when the head is replaced by
 * compare-and-swap.
 *
 * @param revision revision of the configuration
 * @param operation identifier of the change that made the revision
 * @param indexHash SHA-256 hash of the index, which has the hashes of all documents, hexadecimal
 */
public record ConfigurationHead(long revision, String operation, String indexHash) {}
