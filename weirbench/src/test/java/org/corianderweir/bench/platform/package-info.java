/** Tests that the in-memory platform and the HTTP stand-in fulfil the same contract. */
package org.corianderweir.bench.platform;
