/** Tests of the simulated network of the test bench. */
package org.corianderweir.bench.network;
