/** Tests of configuration changes on a platform with faults. */
package org.corianderweir.bench.configuration;
