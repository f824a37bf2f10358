/** Tests with small fleets of real processes. */
package org.corianderweir.bench.scenario;
