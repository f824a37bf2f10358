/** Tests of the operators' interface. */
package org.corianderweir.daemon.operator;
